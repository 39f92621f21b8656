package tailer

import (
	"context"
	"errors"
	"fmt"

	"github.com/lacewingdoor/lacewingdoor/internal/store/accessor"
)

// CatchUp reads a topic from an offset up to its present end. It reads page by page, as
// the store limits the size of a response, and starts from a snapshot if the records at
// the offset were trimmed.
func CatchUp(ctx context.Context, a accessor.Client, topic string, next int64, apply func(Batch)) error {
	end := int64(-1)
	for end < 0 || next < end {
		records, e, err := a.Read(ctx, topic, next, 0)
		if errors.Is(err, accessor.ErrTrimmed) {
			records, e, err = a.Newest(ctx, topic)
			if err != nil {
				return err
			}
			apply(Batch{Records: records, Snapshot: true, Next: e})
			return nil
		}
		if err != nil {
			return err
		}
		if end < 0 {
			end = e
		}
		switch {
		case len(records) == 0 && next < end:
			return fmt.Errorf("topic %q ends at offset %d and has no record at offset %d", topic, end, next)
		case len(records) == 0:
			return nil
		}
		next += int64(len(records))
		apply(Batch{Records: records, Next: next})
	}
	return nil
}
