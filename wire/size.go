package wire

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// JSONSize returns the length in bytes of a MessagePack value rendered as JSON without
// white space, the form in which the protocol counts sizes. Floating-point numbers
// keep a decimal point, as in 4.0. The value must be one that Check accepts.
func JSONSize(value []byte) int {
	n, _ := jsonSize(value)
	return n
}

// TxnSize returns the length in bytes of a transaction's body rendered as JSON.
func TxnSize(t *Txn) int { return JSONSize(Encode(t)) }

// jsonSize returns the JSON length of the value at the beginning of data, and how many bytes
// of data the value takes.
func jsonSize(data []byte) (size, used int) {
	if len(data) == 0 {
		return 0, 0
	}
	code := data[0]
	bigEndian := func(width int) uint64 {
		if len(data) < 1+width {
			return 0
		}
		switch width {
		case 1:
			return uint64(data[1])
		case 2:
			return uint64(binary.BigEndian.Uint16(data[1:]))
		case 4:
			return uint64(binary.BigEndian.Uint32(data[1:]))
		}
		return binary.BigEndian.Uint64(data[1:])
	}
	text := func(head, n int) (int, int) {
		end := min(head+n, len(data))
		return textSize(data[head:end]), end
	}
	// items measures the n values of an array or map: the brackets or braces, and one byte
	// between two values, either a comma or a colon.
	items := func(head, n int) (int, int) {
		size, pos := 2+max(n-1, 0), head
		for range n {
			if pos >= len(data) {
				break
			}
			itemSize, itemUsed := jsonSize(data[pos:])
			size, pos = size+itemSize, pos+itemUsed
		}
		return size, pos
	}
	unsigned := func(width int) (int, int) { return len(strconv.FormatUint(bigEndian(width), 10)), 1 + width }
	signed := func(v int64, used int) (int, int) { return len(strconv.FormatInt(v, 10)), used }
	switch {
	case msgpcode.IsFixedNum(code):
		return signed(int64(int8(code)), 1)
	case msgpcode.IsFixedMap(code):
		return items(1, 2*int(code&msgpcode.FixedMapMask))
	case msgpcode.IsFixedArray(code):
		return items(1, int(code&msgpcode.FixedArrayMask))
	case msgpcode.IsFixedString(code):
		return text(1, int(code&msgpcode.FixedStrMask))
	}
	switch code {
	case msgpcode.Nil, msgpcode.True:
		return 4, 1
	case msgpcode.False:
		return 5, 1
	case msgpcode.Uint8:
		return unsigned(1)
	case msgpcode.Uint16:
		return unsigned(2)
	case msgpcode.Uint32:
		return unsigned(4)
	case msgpcode.Uint64:
		return unsigned(8)
	case msgpcode.Int8:
		return signed(int64(int8(bigEndian(1))), 2)
	case msgpcode.Int16:
		return signed(int64(int16(bigEndian(2))), 3)
	case msgpcode.Int32:
		return signed(int64(int32(bigEndian(4))), 5)
	case msgpcode.Int64:
		return signed(int64(bigEndian(8)), 9)
	case msgpcode.Float:
		return decimalSize(float64(math.Float32frombits(uint32(bigEndian(4))))), 5
	case msgpcode.Double:
		return decimalSize(math.Float64frombits(bigEndian(8))), 9
	case msgpcode.Str8:
		return text(2, int(bigEndian(1)))
	case msgpcode.Str16:
		return text(3, int(bigEndian(2)))
	case msgpcode.Str32:
		return text(5, int(bigEndian(4)))
	case msgpcode.Array16:
		return items(3, int(bigEndian(2)))
	case msgpcode.Array32:
		return items(5, int(bigEndian(4)))
	case msgpcode.Map16:
		return items(3, 2*int(bigEndian(2)))
	case msgpcode.Map32:
		return items(5, 2*int(bigEndian(4)))
	}
	return 0, len(data) // Check accepts no other types
}

// textSize returns the length of a string in JSON, with its quotes and escape sequences.
func textSize(text []byte) int {
	n := 2
	for _, c := range text {
		switch {
		case c == '"', c == '\\', c == '\n', c == '\r', c == '\t', c == '\b', c == '\f':
			n += 2
		case c < 0x20:
			n += 6
		default:
			n++
		}
	}
	return n
}

// decimalSize returns the length of a floating-point number in JSON. An integral value takes
// two more bytes for ".0".
func decimalSize(f float64) int {
	if math.IsNaN(f) || math.IsInf(f, 0) {
		return 4 // null
	}
	n := len(strconv.AppendFloat(nil, f, 'f', -1, 64))
	if f == math.Trunc(f) {
		n += 2
	}
	return n
}
