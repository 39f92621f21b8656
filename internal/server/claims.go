package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lacewingdoor/lacewingdoor/claimer"
	"github.com/lacewingdoor/lacewingdoor/follower"
	"github.com/lacewingdoor/lacewingdoor/router"
)

// followClaims reads the claims of all entry VMs until ctx ends.
func (s *Server) followClaims(ctx context.Context) {
	f := s.newFollower(streamClaims)
	f.Handle = func(e follower.Entry) {
		s.claimsAppender.Observe(e)
		if err := s.claimer.Read(e.Offset, e.Appended, e.Kind, e.Body); err != nil {
			s.undecodableHandler(streamClaims)(e.Offset, e.Body, err)
		}
	}
	f.CaughtUp = s.claimer.CaughtUp
	f.Gap = func(_, first int64) { s.claimer.SetFirstOffset(first) }
	undecodable := f.Undecodable
	f.Undecodable = func(offset int64, data []byte, err error) {
		s.claimer.SkipUndecodable(offset)
		undecodable(offset, data, err)
	}
	_ = f.Run(ctx) // returns only when ctx ends
}

// appendClaims appends the records of a batch concurrently; the appender combines
// them into one append.
func (s *Server) appendClaims(ctx context.Context, records []claimer.Record) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, r := range records {
		kind, body, err := claimer.EncodeRecord(r)
		if err != nil {
			return err
		}
		e := follower.Envelope{ID: claimer.EnvelopeID(r), Kind: kind, VM: s.Settings.VM, Body: body}
		g.Go(func() error { return s.claimsAppender.Append(ctx, e) })
	}
	if err := g.Wait(); err != nil {
		return fmt.Errorf("append claims: %w", err)
	}
	return nil
}

// claim claims the idempotency key of a request, scoped to its organisation and
// service.
func (s *Server) claim(ctx context.Context, now time.Time, q router.Request) (router.Claim, error) {
	err := s.claimer.Claim(ctx, now, scopedKey(q), q.ID)
	switch {
	case err == nil:
		return router.Granted, nil
	case errors.Is(err, claimer.ErrHeld), errors.Is(err, claimer.ErrHistoryIncomplete):
		return router.AlreadyClaimed, err
	default:
		return router.Unavailable, err
	}
}

// release releases the claim of a request that was not sent.
func (s *Server) release(_ context.Context, _ time.Time, q router.Request) {
	s.claimer.Release(scopedKey(q), q.ID)
}

func scopedKey(q router.Request) string {
	return q.Organisation + "/" + q.Service + "/" + q.Key
}
