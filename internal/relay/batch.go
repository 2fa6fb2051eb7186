package relay

// BatchLimits bounds the batches that are sent to one controller.
type BatchLimits struct {
	MaxItems    int // items in a batch
	MaxBytes    int // bytes in a batch; a larger item forms a batch alone
	MaxInFlight int // batches without an answer
	MaxQueued   int // items that wait for a batch
}

// Batcher collects items for one controller and forms batches of them in the order in which
// they were added. While BatchLimits.MaxInFlight batches are unanswered, items stay queued.
// The caller decides when to send: a short time after the first item, or once Full reports
// true.
type Batcher[T any] struct {
	limits      BatchLimits
	queued      []entry[T]
	queuedBytes int // total size of the queued items
	inFlight    int
}

// entry is a queued item.
type entry[T any] struct {
	item     T
	size     int // bytes
	queuedAt Micros
}

// NewBatcher returns an empty batcher.
func NewBatcher[T any](limits BatchLimits) *Batcher[T] { return &Batcher[T]{limits: limits} }

// Len returns the number of queued items.
func (b *Batcher[T]) Len() int { return len(b.queued) }

// InFlight returns the number of batches without an answer.
func (b *Batcher[T]) InFlight() int { return b.inFlight }

// Add queues an item of the given size in bytes. It reports false, and does not queue the
// item, if MaxQueued items are queued already.
func (b *Batcher[T]) Add(item T, size int, now Micros) bool {
	if len(b.queued) >= b.limits.MaxQueued {
		return false
	}
	b.queued = append(b.queued, entry[T]{item, size, now})
	b.queuedBytes += size
	return true
}

// Full reports whether the queued items fill a batch.
func (b *Batcher[T]) Full() bool {
	return len(b.queued) >= b.limits.MaxItems || b.queuedBytes >= b.limits.MaxBytes
}

// Next removes the next batch from the queue and counts it as in flight. It returns nil if
// nothing is queued or if MaxInFlight batches are in flight.
func (b *Batcher[T]) Next() []T {
	if len(b.queued) == 0 || b.inFlight >= b.limits.MaxInFlight {
		return nil
	}
	var batch []T
	size := 0
	for _, e := range b.queued {
		if len(batch) == b.limits.MaxItems || len(batch) > 0 && size+e.size > b.limits.MaxBytes {
			break
		}
		batch, size = append(batch, e.item), size+e.size
	}
	b.queued = b.queued[len(batch):]
	b.queuedBytes -= size
	b.inFlight++
	return batch
}

// Done records that a batch in flight was answered or given up.
func (b *Batcher[T]) Done() { b.inFlight-- }

// Expire removes and returns the items that were queued before the cutoff.
func (b *Batcher[T]) Expire(cutoff Micros) []T {
	var expired []T
	for len(b.queued) > 0 && b.queued[0].queuedAt < cutoff {
		expired = append(expired, b.queued[0].item)
		b.queuedBytes -= b.queued[0].size
		b.queued = b.queued[1:]
	}
	return expired
}
