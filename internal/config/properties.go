package config

import (
	"errors"
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/gappond/gappond/internal/tuning"
	"github.com/magiconair/properties"
)

// A property is one key of the operators' file.
type property struct {
	doc    string
	apply  func(o *tuning.Operator, value string) error // the error says what is allowed
	format func(o *tuning.Operator) string
}

// maxSeconds bounds a span: a day.
const maxSeconds = 86_400

// seconds is a property that holds a span.
func seconds(doc string, field func(*tuning.Operator) *time.Duration) property {
	return property{doc,
		func(o *tuning.Operator, value string) error {
			v, err := strconv.ParseFloat(value, 64)
			if err != nil || !(v >= 0) || v > maxSeconds {
				return fmt.Errorf("is not a number of seconds from 0 to %d", maxSeconds)
			}
			*field(o) = time.Duration(v * float64(time.Second))
			return nil
		},
		func(o *tuning.Operator) string { return strconv.FormatFloat(field(o).Seconds(), 'f', -1, 64) }}
}

// boolean is a property that is true or false.
func boolean(doc string, field func(*tuning.Operator) *bool) property {
	return property{doc,
		func(o *tuning.Operator, value string) error {
			v, err := strconv.ParseBool(value)
			if err != nil {
				return errors.New("is neither true nor false")
			}
			*field(o) = v
			return nil
		},
		func(o *tuning.Operator) string { return strconv.FormatBool(*field(o)) }}
}

// maxSpares is the largest number of spares per zone: far more than any zone's machines.
const maxSpares = 100_000

var knownProperties = map[string]property{
	"fleet.idle-return.seconds": seconds("seconds a machine may be idle before it is returned",
		func(o *tuning.Operator) *time.Duration { return &o.MachineIdleTimeout }),
	"fleet.spares-per-zone": {"idle machines kept in every zone, 0 to 100000",
		func(o *tuning.Operator, value string) error {
			v, err := strconv.Atoi(value)
			if err != nil || v < 0 || v > maxSpares {
				return fmt.Errorf("is not a number from 0 to %d", maxSpares)
			}
			o.SparesPerZone = v
			return nil
		},
		func(o *tuning.Operator) string { return strconv.Itoa(o.SparesPerZone) }},
	"queue.bar-after.seconds": seconds("seconds a gang waits before smaller jobs no longer pass it",
		func(o *tuning.Operator) *time.Duration { return &o.BackfillBarrierDelay }),
	"workers.direct-starts": boolean("true: starts go straight to workers; false: with their next report",
		func(o *tuning.Operator) *bool { return &o.DirectStarts }),
	"recovery.phase": boolean("true: recoveries are followed, logged and measured, and the largest gangs go first in them",
		func(o *tuning.Operator) *bool { return &o.RecoveryPhase }),
	"fleet.zone-reserve": boolean("true: room is kept outside every zone for the replicas of services that it has",
		func(o *tuning.Operator) *bool { return &o.ZoneReserve }),
}

// ParseProperties decodes and checks the operators' properties. A key that is
// not known is an error: a setting that does nothing is worse than none.
func ParseProperties(data []byte) (tuning.Operator, error) {
	o := tuning.Defaults()
	p, err := (&properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}).LoadBytes(data)
	if err != nil {
		return o, err
	}
	found := &checker{}
	for _, key := range p.Keys() {
		k, ok := knownProperties[key]
		if !ok {
			found.problems = append(found.problems, &UnknownKeyError{Key: key, Known: Keys()})
			continue
		}
		value, _ := p.Get(key)
		if err := k.apply(&o, value); err != nil {
			found.addProblem(key, value, err.Error())
		}
	}
	return o, found.err()
}

// Keys lists the operators' keys in order.
func Keys() []string {
	keys := make([]string, 0, len(knownProperties))
	for k := range knownProperties {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// Value is what an operators' key is set to.
func (c *Config) Value(key string) string { return knownProperties[key].format(&c.Operator) }

// Doc explains an operators' key.
func Doc(key string) string { return knownProperties[key].doc }
