package poison

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	system "github.com/bluebellseam/bluebellseam/internal/systems/poison"
)

// recordPrefix begins the names of the records in the store that hold a cause.
const recordPrefix = "crash-cause/"

// Record is a cause of crashes in the store.
type Record struct {
	Cause string `json:"cause"`
	// FoundAtMS is when the cause was found, in Unix milliseconds.
	FoundAtMS int64 `json:"found_ms"`
	// Released is true if it turned out to be sound. The record stays, so that a host that does
	// not know of the release does not write the cause again.
	Released bool `json:"released,omitempty"`
	// ByOperator is true if an operator has released it. The build before does not read it.
	ByOperator bool `json:"by_operator,omitempty"`
	// LostTrials is the number of trials that cost a target, and LostTrialAtMS when the last of
	// them ended, in Unix milliseconds. They outlive all hosts, so that no trial follows each start.
	// The build before writes neither.
	LostTrials    int   `json:"lost_trials,omitempty"`
	LostTrialAtMS int64 `json:"lost_trial_ms,omitempty"`
}

// DecodeRecord decodes the value of a record. Errors are of the kind MalformedRequest.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errkind.New(errkind.MalformedRequest, fmt.Sprintf("the record of a cause of crashes can't be read: %s", err))
	}
	return r, checkCause(r.Cause)
}

// IsRecord reports whether the record with a name holds a cause.
func IsRecord(name string) bool { return strings.HasPrefix(name, recordPrefix) }

// RecordName returns the name of the record of a cause.
func RecordName(cause string) string {
	return fmt.Sprintf("%s%016x", recordPrefix, xxhash.Sum64String(cause))
}

// IsLaterThan reports whether the record replaces one that the store holds. That a cause is
// released is later than that it was found at the same time, and trials follow in between.
func (r Record) IsLaterThan(stored Record) bool {
	switch {
	case r.FoundAtMS != stored.FoundAtMS:
		return r.FoundAtMS > stored.FoundAtMS
	case r.Released != stored.Released:
		return r.Released
	default:
		return r.LostTrialAtMS > stored.LostTrialAtMS
	}
}

// checkCause returns an error of the kind MalformedRequest if a name is not that of a cause.
func checkCause(name string) error {
	if _, err := system.ReadCause(name); err != nil {
		return errkind.New(errkind.MalformedRequest, err.Error())
	}
	return nil
}
