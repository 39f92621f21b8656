package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/lacewingdoor/lacewingdoor/proto/peer/v1"
	"github.com/lacewingdoor/lacewingdoor/publisher"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

// controlRecord is a record of the control stream in a snapshot that one VM sends to
// another.
type controlRecord struct {
	Offset   int64           `json:"offset"`
	Appended time.Time       `json:"appended"`
	Kind     string          `json:"kind"`
	Body     json.RawMessage `json:"body"`
}

// Snapshot returns the configuration in force and the control records that are still
// needed, so that another VM can start without the log.
func (p *peerServer) Snapshot(context.Context, *connect.Request[peerv1.SnapshotRequest]) (*connect.Response[peerv1.SnapshotResponse], error) {
	v := p.s.view.Load()
	if !v.configReady {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this VM has no configuration yet"))
	}
	config, err := publisher.Encode(v.config)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	a := &peerv1.SnapshotResponse{Config: config}
	if v.controlComplete() {
		if a.Control, a.ControlNext, err = encodeControl(v.control); err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
	}
	return connect.NewResponse(a), nil
}

// encodeControl returns the control records that are still needed and the offset of
// the stream up to which they replace it.
func encodeControl(c reducer.State) ([]byte, int64, error) {
	records, next := c.Snapshot()
	rows := make([]controlRecord, len(records))
	for i, r := range records {
		kind, body, err := reducer.Encode(r.Record)
		if err != nil {
			return nil, 0, err
		}
		rows[i] = controlRecord{r.Offset, r.Appended, kind, body}
	}
	b, err := json.Marshal(rows)
	return b, next, err
}

func decodeControl(b []byte) ([]reducer.RecordRead, error) {
	var rows []controlRecord
	if err := json.Unmarshal(b, &rows); err != nil {
		return nil, fmt.Errorf("decode control records: %w", err)
	}
	records := make([]reducer.RecordRead, len(rows))
	for i, r := range rows {
		x, err := reducer.Decode(r.Kind, r.Body)
		if err != nil {
			return nil, err
		}
		records[i] = reducer.RecordRead{Offset: r.Offset, Appended: r.Appended, Record: x}
	}
	return records, nil
}

// bootstrap fetches the configuration and control state that this VM has not read
// from the log from other entry VMs, so that it can start while the log is down.
func (s *Server) bootstrap(ctx context.Context) {
	every(ctx, time.Second, func() {
		v := s.view.Load()
		if v.configReady && v.controlComplete() {
			return
		}
		for _, m := range v.members.Members() {
			if err := s.bootstrapFrom(ctx, m.Address); err != nil {
				s.throttled.log("adopt", m.Address, err)
			}
		}
	})
}

func (s *Server) bootstrapFrom(ctx context.Context, address string) error {
	c, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	a, err := s.peer(address).Snapshot(c, connect.NewRequest(&peerv1.SnapshotRequest{}))
	if err != nil {
		return fmt.Errorf("fetch state of entry VM %s: %w", address, err)
	}
	config, err := publisher.DecodeState(a.Msg.GetConfig())
	if err != nil {
		return fmt.Errorf("configuration of entry VM %s: %w", address, err)
	}
	s.post(peerConfigMessage{config})
	if len(a.Msg.GetControl()) == 0 {
		return nil
	}
	records, err := decodeControl(a.Msg.GetControl())
	if err != nil {
		return fmt.Errorf("control state of entry VM %s: %w", address, err)
	}
	s.post(peerControlMessage{records, a.Msg.GetControlNext()})
	return nil
}

// applyPeerControl replaces the control state by the records of another VM if this
// VM has not read the stream from its beginning and the other VM has read at least
// as far. Records that the follower delivers again have no effect.
func (s *Server) applyPeerControl(ctx context.Context, now time.Time, v view, m peerControlMessage) view {
	if v.controlComplete() || v.control.Leading() || m.next < v.controlOffset {
		return v
	}
	v.control = s.newControl()
	for _, e := range s.initialEvents(v) {
		v = s.applyEvent(ctx, now, v, e)
	}
	offset := v.controlOffset
	for _, r := range m.records {
		v = s.applyEvent(ctx, now, v, r)
	}
	v.controlOffset = offset
	v.controlFromPeer = true
	s.log("adopt").WithField("records", len(m.records)).Info("control state loaded from another entry VM")
	return v
}
