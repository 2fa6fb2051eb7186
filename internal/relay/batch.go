package relay

// Bounds of what is on its way to one controller.
type BatchLimits struct {
	MaxItems    int // of a batch
	MaxBytes    int // of a batch, unless a single item is larger
	MaxInFlight int // batches
	MaxQueued   int // items that wait for their batch
}

// Batcher collects items for one controller. A batch is sent a short time after its first
// item, or as soon as it is full; while as many as allowed are unanswered, items wait.
type Batcher[T any] struct {
	limits      BatchLimits
	queued      []entry[T]
	queuedBytes int // of those
	inFlight    int
}

type entry[T any] struct {
	item     T
	size     int
	queuedAt Micros
}

// NewBatcher makes a batcher.
func NewBatcher[T any](limits BatchLimits) *Batcher[T] { return &Batcher[T]{limits: limits} }

// Len is how many items wait.
func (b *Batcher[T]) Len() int { return len(b.queued) }

// InFlight is how many batches are unanswered.
func (b *Batcher[T]) InFlight() int { return b.inFlight }

// Add has an item wait for its batch; it reports false when too many wait.
func (b *Batcher[T]) Add(item T, size int, now Micros) bool {
	if len(b.queued) >= b.limits.MaxQueued {
		return false
	}
	b.queued = append(b.queued, entry[T]{item, size, now})
	b.queuedBytes += size
	return true
}

// Full reports whether what waits makes a whole batch.
func (b *Batcher[T]) Full() bool {
	return len(b.queued) >= b.limits.MaxItems || b.queuedBytes >= b.limits.MaxBytes
}

// Next takes out the next batch; nil if none may be sent now.
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

// Done notes that a batch was answered or given up.
func (b *Batcher[T]) Done() { b.inFlight-- }

// Expire takes out the items that have waited since before the instant.
func (b *Batcher[T]) Expire(cutoff Micros) []T {
	var expired []T
	for len(b.queued) > 0 && b.queued[0].queuedAt < cutoff {
		expired = append(expired, b.queued[0].item)
		b.queuedBytes -= b.queued[0].size
		b.queued = b.queued[1:]
	}
	return expired
}
