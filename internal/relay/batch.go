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
	bounds   BatchLimits
	waiting  []entry[T]
	bytes    int // of those
	inFlight int
}

type entry[T any] struct {
	item  T
	size  int
	since Micros
}

// NewBatcher makes a batcher.
func NewBatcher[T any](b BatchLimits) *Batcher[T] { return &Batcher[T]{bounds: b} }

// Len is how many items wait.
func (b *Batcher[T]) Len() int { return len(b.waiting) }

// InFlight is how many batches are unanswered.
func (b *Batcher[T]) InFlight() int { return b.inFlight }

// Add has an item wait for its batch; it reports false when too many wait.
func (b *Batcher[T]) Add(item T, size int, now Micros) bool {
	if len(b.waiting) >= b.bounds.MaxQueued {
		return false
	}
	b.waiting = append(b.waiting, entry[T]{item, size, now})
	b.bytes += size
	return true
}

// Full reports whether what waits makes a whole batch.
func (b *Batcher[T]) Full() bool {
	return len(b.waiting) >= b.bounds.MaxItems || b.bytes >= b.bounds.MaxBytes
}

// Next takes out the next batch; nil if none may be sent now.
func (b *Batcher[T]) Next() []T {
	if len(b.waiting) == 0 || b.inFlight >= b.bounds.MaxInFlight {
		return nil
	}
	var batch []T
	size := 0
	for _, e := range b.waiting {
		if len(batch) == b.bounds.MaxItems || len(batch) > 0 && size+e.size > b.bounds.MaxBytes {
			break
		}
		batch, size = append(batch, e.item), size+e.size
	}
	b.waiting = b.waiting[len(batch):]
	b.bytes -= size
	b.inFlight++
	return batch
}

// Done notes that a batch was answered or given up.
func (b *Batcher[T]) Done() { b.inFlight-- }

// Expire takes out the items that have waited since before the instant.
func (b *Batcher[T]) Expire(before Micros) []T {
	var old []T
	for len(b.waiting) > 0 && b.waiting[0].since < before {
		old = append(old, b.waiting[0].item)
		b.bytes -= b.waiting[0].size
		b.waiting = b.waiting[1:]
	}
	return old
}
