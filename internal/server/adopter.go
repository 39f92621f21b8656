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

// controlRecord is a record of the control stream, as one VM gives it to another.
type controlRecord struct {
	Offset   int64           `json:"offset"`
	Appended time.Time       `json:"appended"`
	Kind     string          `json:"kind"`
	Body     json.RawMessage `json:"body"`
}

// Snapshot gives a VM that starts the configuration in force, and the control
// records that still count.
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
	if v.knowsControl() {
		if a.Control, a.ControlNext, err = encodeControl(v.control); err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
	}
	return connect.NewResponse(a), nil
}

// encodeControl returns the control records that still count, and the offset up
// to which they stand for the stream.
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

// adopt asks other entry VMs for what this VM has not got from the log, so that
// it can start while the log is down.
func (s *Server) adopt(ctx context.Context) {
	every(ctx, time.Second, func() {
		v := s.view.Load()
		if v.configReady && v.knowsControl() {
			return
		}
		for _, m := range v.members.Members() {
			if err := s.adoptFrom(ctx, m.Address); err != nil {
				s.quiet.log("adopt", m.Address, err)
			}
		}
	})
}

func (s *Server) adoptFrom(ctx context.Context, address string) error {
	c, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	a, err := s.peer(address).Snapshot(c, connect.NewRequest(&peerv1.SnapshotRequest{}))
	if err != nil {
		return fmt.Errorf("ask %s for its state: %w", address, err)
	}
	config, err := publisher.DecodeState(a.Msg.GetConfig())
	if err != nil {
		return fmt.Errorf("configuration of %s: %w", address, err)
	}
	s.post(configStateMessage{config})
	if len(a.Msg.GetControl()) == 0 {
		return nil
	}
	records, err := decodeControl(a.Msg.GetControl())
	if err != nil {
		return fmt.Errorf("control state of %s: %w", address, err)
	}
	s.post(controlStateMessage{records, a.Msg.GetControlNext()})
	return nil
}

// adoptControl adopts the control records of another VM, when this one has not
// read the stream from its beginning and the other one has read as far. Records
// that the follower brings again change nothing.
func (s *Server) adoptControl(ctx context.Context, now time.Time, v view, m controlStateMessage) view {
	if v.knowsControl() || v.control.Leading() || m.next < v.controlOffset {
		return v
	}
	v.control = s.newControl()
	for _, e := range s.known(v) {
		v = s.event(ctx, now, v, e)
	}
	offset := v.controlOffset
	for _, r := range m.records {
		v = s.event(ctx, now, v, r)
	}
	v.controlOffset = offset
	v.controlAdopted = true
	s.log("adopt").WithField("records", len(m.records)).Info("control state taken from another entry VM")
	return v
}
