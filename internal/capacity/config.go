package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/google/uuid"

	"github.com/bluebellseam/bluebellseam/internal/auth"
	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// snapshotDecisions is the number of decisions in the measured snapshot. It is the
// maximum (config.maxDecisions).
const snapshotDecisions = 512

// measureConfigSlopes measures the costs of the configuration, its changes and its
// snapshots for one process, and of looking up a customer key.
func measureConfigSlopes(s Size) ([]Slope, error) {
	doc, err := config.Canonical(s.document())
	if err != nil {
		return nil, err
	}
	state, err := fullState(doc)
	if err != nil {
		return nil, err
	}
	patch, err := patchRecord(state, 0)
	if err != nil {
		return nil, err
	}
	snapshot := state.Snapshot()
	snapshotData, err := config.LogRecord{Snapshot: &snapshot}.Encode()
	if err != nil {
		return nil, err
	}
	index, err := auth.NewIndex(*state.Document)
	if err != nil {
		return nil, err
	}
	memory := memoryOf(func() any {
		copied, copyErr := config.Restore(snapshot)
		err = copyErr
		return &copied
	})
	if err != nil {
		return nil, err
	}
	m := &meter{}
	m.add("config.document", float64(len(doc)), Bytes, "document at the target size", "canonical JSON")
	m.add("config.patch_record", float64(len(patch)), Bytes, "change", "log record of a patch of one value")
	m.add("config.snapshot_record", float64(len(snapshotData)), Bytes, "snapshot", "log record with 512 decisions")
	m.add("config.state_memory", memory, Bytes, "process", "heap of the restored state")
	m.addTime("config.fold_patch", "change", "State.Fold", func() { _, _ = state.Apply(ports.Record{Offset: state.Next, Data: patch}) })
	m.addTime("config.fold_snapshot", "snapshot", "State.Fold", func() { _, _ = state.Apply(ports.Record{Offset: state.Next, Data: snapshotData}) })
	m.addTime("config.index_keys", "change", "auth.NewIndex", func() { _, _ = auth.NewIndex(*state.Document) })
	m.addTime("gate.find_key", "request", "Index.Customer with an unknown key", func() { _, _ = index.Customer("no such key") })
	return m.result()
}

// fullState returns a state with document doc and snapshotDecisions decisions on patches.
func fullState(doc []byte) (config.State, error) {
	state, err := config.RestoreDocument(1, config.Digest(doc), doc)
	if err != nil {
		return state, err
	}
	for i := range snapshotDecisions {
		data, err := patchRecord(state, i)
		if err != nil {
			return state, err
		}
		next, step := state.Apply(ports.Record{Offset: state.Next, Data: data})
		if step.Err != nil || !step.Result.Accepted {
			return state, fmt.Errorf("patch %d was not accepted: %+v", i, step)
		}
		state = next
	}
	return state, nil
}

// patchRecord returns the log record of a patch that inverts the drained flag of the i-th
// engine.
func patchRecord(state config.State, i int) ([]byte, error) {
	name := engineName(i % len(state.Document.Targets))
	drained := !state.Document.Targets[name].Drained
	merge, err := json.Marshal(map[string]any{"targets": map[string]any{name: map[string]any{"drained": drained}}})
	if err != nil {
		return nil, err
	}
	p := config.Patch{ID: uuid.NewString(), Base: state.Version, Operator: "operator-1", Merge: merge}
	return config.LogRecord{Patch: &p}.Encode()
}
