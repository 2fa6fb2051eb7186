package config

import (
	"strings"
	"testing"
)

const validSettings = `{"host_name":"n0","location":"a","listen":"10.0.0.1:8080","peer_listen":"10.0.0.1:8081","extra":1,
"peers":[{"host_name":"n1","location":"a","endpoint":"10.0.0.2:8081"}],
"endpoints":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
"params":{"size":2,"zones":["a"],"teams":[{"name":"t","cpus":0,"cpus_max":0}],
"objectives":[{"kind":"wait","class":"c","within_s":4,"share":0.9}],
"workers":{"report_s":1,"lease_s":10,"gang_wait_s":50,"gang_peer_s":4,"cancel_s":40},
"state":{"rps":250,"write_rps":100,"value_kb":32,"txn_ops":32,"next":{"value_kb":2,"txn_ops":64}},"cloud":{"rps":2,"list_lag_s":3},
"resources":{"cpu_share":0.1,"memory_mb":98,"fd_limit":900},"clock_error_ms":25}}`

func TestParse(t *testing.T) {
	c, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if lowest := c.Params.State.Lowest(); lowest.ValueBytes() != 2048 || lowest.TxnOps != 32 || lowest.WriteRPS != 100 {
		t.Errorf("lowest limits: %+v", lowest)
	}
	for replacement, field := range map[string]string{
		`"host_name":"n0"|"host_name":""`:       "host_name",
		`"host_name":"n1"|"host_name":"n0"`:     "peers[0].host_name",
		`"10.0.0.1:8080"|"nowhere"`:             "listen",
		`"10.2.0.1:2379"|""`:                    "endpoints.state",
		`"lease_s":10|"lease_s":0`:              "params.workers.lease_s",
		`"cancel_s":40|"cancel_s":5`:            "params.workers.cancel_s",
		`"rps":250|"rps":-1`:                    "params.state.rps",
		`"txn_ops":32|"txn_ops":0`:              "params.state.txn_ops",
		`"value_kb":2|"value_kb":0.5`:           "params.state.next.value_kb",
		`"txn_ops":64|"txn_ops":3`:              "params.state.next.txn_ops",
		`"memory_mb":98|"memory_mb":1`:          "params.resources.memory_mb",
		`"fd_limit":900|"fd_limit":9`:           "params.resources.fd_limit",
		`"zones":["a"]|"zones":[]`:              "params.zones",
		`"cpus":0,|"cpus":-4,`:                  "params.teams[0].cpus",
		`"share":0.9|"share":9`:                 "params.objectives[0].share",
		`"params":{"size":2|"params":{"size":0`: "params.size",
	} {
		from, to, _ := strings.Cut(replacement, "|")
		if !strings.Contains(validSettings, from) {
			t.Fatalf("%s is not in the sample", from)
		}
		_, err := Parse([]byte(strings.Replace(validSettings, from, to, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), field+":") {
			t.Errorf("%s: %v", replacement, err)
		}
	}
}
