package accessor

import (
	"strconv"
	"strings"
)

const partitionSeparator = "/"

// Partition returns the name by which the calls of Client address a partition of a topic. The
// name of a topic alone addresses its partition 0.
func Partition(topic string, part int) string {
	if part == 0 {
		return topic
	}
	return topic + partitionSeparator + strconv.Itoa(part)
}

// SplitPartition returns the topic and the partition that a name addresses.
func SplitPartition(name string) (string, int) {
	topic, number, ok := strings.Cut(name, partitionSeparator)
	if !ok {
		return name, 0
	}
	n, err := strconv.Atoi(number)
	if err != nil || n <= 0 {
		return name, 0
	}
	return topic, n
}
