package publisher_test

import (
	"fmt"
	"testing"

	"github.com/lacewingdoor/lacewingdoor/publisher"
)

// BenchmarkApply applies single-file changes to a configuration of 400 services
// of 40 organisations.
func BenchmarkApply(b *testing.B) {
	s := publisher.New()
	c := publisher.Change{ID: "first"}
	for i := range 40 {
		content := fmt.Sprintf("[organisation.o%d]\nweight = 3\n[[organisation.o%d.guarantee]]\nname = \"g\"\naccelerators = 8\nhours = \"22:00-06:00\"\ntime-zone = \"America/Sao_Paulo\"\n", i, i)
		c.Files = append(c.Files, publisher.FileChange{Name: fmt.Sprintf("o%d.toml", i), Content: content})
	}
	for i := range 400 {
		c.Files = append(c.Files, publisher.FileChange{Name: fmt.Sprintf("s%d.toml", i), Content: serviceFile(i, 0)})
	}
	s, v := publisher.Apply(s, 1, c)
	if v.Outcome != publisher.OutcomeInForce {
		b.Fatal(v.Err())
	}
	offset := int64(1)
	for b.Loop() {
		offset++
		n := int(offset) % 400
		name := fmt.Sprintf("s%d.toml", n)
		f, _ := s.File(name)
		s, v = publisher.Apply(s, offset, newChange(fmt.Sprint("c", offset), name, f.Revision, serviceFile(n, int(offset))))
		if v.Outcome != publisher.OutcomeInForce {
			b.Fatal(v.Err())
		}
	}
}

func serviceFile(n, limit int) string {
	return fmt.Sprintf(`[service.s%d]
organisation = "o%d"
queue-limit = %d
[[service.s%d.route]]
path = "/proofs"
deadline = "2s"
[[service.s%d.route]]
path = "/batches"
class = "long"
non-idempotent = true
[service.s%d.job]
tasks = 4
accelerators = 2
adjacency = "rack"
`, n, n%40, 1+limit%100_000, n, n, n)
}
