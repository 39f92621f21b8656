package reducer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/leaser"
	"github.com/lacewingdoor/lacewingdoor/reducer"
)

func TestCodecRoundTripsEveryRecord(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1796371897, 5).UTC()
	for _, r := range []reducer.Record{
		reducer.JobAccepted{Job: reducer.Job{ID: "a:1", DeclaredRun: time.Minute}, Accepted: at},
		reducer.JobCancelled{Job: "a:1", Organisation: "a"},
		reducer.LeaderClaimed{VM: "entry-1", Previous: 7},
		reducer.TermConfirmed{VM: "entry-1", Term: 7},
		reducer.StartRecorded{Job: "a:1", Attempt: 2, Epoch: leaser.Epoch{Term: 7, SubTerm: 1}},
		reducer.JobEnded{Job: "a:1", Attempt: 2, Outcome: reducer.OutcomeFailed, Reason: "x", RunMS: 3},
	} {
		k, b, err := reducer.Encode(r)
		is.NoErr(err)
		d, err := reducer.Decode(k, b)
		is.NoErr(err)
		is.Equal(d, r)
	}
}

func TestDecodeRejectsUnknownKindAndInvalidBody(t *testing.T) {
	is := is.New(t)
	_, err := reducer.Decode("job-frozen", []byte(`{}`))
	is.True(err != nil)
	_, err = reducer.Decode("job-ended", []byte(`{"job":3}`))
	is.True(err != nil)
}
