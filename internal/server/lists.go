package server

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lacewingdoor/lacewingdoor/internal/connector"
)

// listInterval is the time between two reads of the platform's list.
const listInterval = 1 * time.Second // the list lags by more anyway

// followList reads the platform's list until ctx ends. While the list can't be
// read, what was read last stands.
func (s *Server) followList(ctx context.Context) {
	known := ""
	every(ctx, listInterval, func() {
		l, tag, changed, err := s.list.ReadChanged(ctx, known)
		if err != nil {
			s.quiet.log("list", s.Settings.ListAddress, err)
			return
		}
		known = tag
		if !changed {
			return
		}
		slices.SortFunc(l, func(a, b connector.ListedVM) int {
			return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Role, b.Role))
		})
		s.post(listedMessage{l})
	})
}

// listKey names a row of the list.
type listKey struct {
	role connector.Role
	id   string
}

// addresses returns where each listed VM can be reached.
func addresses(list []connector.ListedVM) map[listKey]string {
	m := make(map[listKey]string, len(list))
	for _, l := range list {
		m[listKey{l.Role, l.ID}] = l.Address
	}
	return m
}
