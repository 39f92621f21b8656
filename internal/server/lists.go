package server

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
)

// listPollInterval is the time between two reads of the platform's list.
const listPollInterval = 1 * time.Second // the list itself lags by more than this

// pollList reads the platform's list until ctx ends. If a read fails, the last list
// stays in use.
func (s *Server) pollList(ctx context.Context) {
	lastTag := ""
	every(ctx, listPollInterval, func() {
		l, tag, changed, err := s.list.ReadIfChanged(ctx, lastTag)
		if err != nil {
			s.throttled.log("list", s.Settings.ListAddress, err)
			return
		}
		lastTag = tag
		if !changed {
			return
		}
		slices.SortFunc(l, func(a, b connector.ListedVM) int {
			return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Role, b.Role))
		})
		s.post(listMessage{l})
	})
}

// listKey identifies a row of the list.
type listKey struct {
	role connector.Role
	id   string
}

// addresses returns the address of each listed VM.
func addresses(list []connector.ListedVM) map[listKey]string {
	m := make(map[listKey]string, len(list))
	for _, l := range list {
		m[listKey{l.Role, l.ID}] = l.Address
	}
	return m
}
