package decoder

import (
	"fmt"
	"regexp"
	"strconv"
	"time"
	_ "time/tzdata" // a VM may lack a time zone database
)

const allDay = "all-day"

var hoursPattern = regexp.MustCompile(`^([01]\d|2[0-3]):([0-5]\d)-([01]\d|2[0-3]):([0-5]\d)$`)

// hours reads a period of the day such as "22:00-06:00" as times since midnight.
// Both are 0 for the whole day.
func (s scope) hours(key string, v any) (from, to time.Duration) {
	allowed := fmt.Sprintf("%q, or two different times of day like %q", allDay, "22:00-06:00")
	s.text(key, v, "", allowed, func(t string) bool {
		if t == allDay {
			return true
		}
		m := hoursPattern.FindStringSubmatch(t)
		if m == nil {
			return false
		}
		from, to = timeOfDay(m[1], m[2]), timeOfDay(m[3], m[4])
		return from != to
	})
	return from, to
}

// timeOfDay returns the time since midnight of an hour and minute that match
// hoursPattern.
func timeOfDay(hour, minute string) time.Duration {
	h, _ := strconv.Atoi(hour)
	m, _ := strconv.Atoi(minute)
	return time.Duration(h)*time.Hour + time.Duration(m)*time.Minute
}

// timeZone reads an IANA time zone name; the default is UTC.
func (s scope) timeZone(key string, v any) (string, *time.Location) {
	loc := time.UTC
	name := s.text(key, v, "UTC", `an IANA time zone like "America/Sao_Paulo"`, func(t string) bool {
		if t == "" || t == "Local" {
			return false
		}
		loaded, err := time.LoadLocation(t)
		if err == nil {
			loc = loaded
		}
		return err == nil
	})
	return name, loc
}
