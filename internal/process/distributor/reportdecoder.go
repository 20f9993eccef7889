package distributor

import (
	"encoding/json"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/flatdecoder"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// decodeReport decodes an agent's report. Most have neither lists nor releases and take the quick way.
func decodeReport(data []byte) (r wire.FleetReport, err error) {
	if flatdecoder.Decode(data, func(name, value []byte) bool { return setReportField(&r, name, value) }) {
		return r, nil
	}
	r = wire.FleetReport{}
	err = json.Unmarshal(data, &r)
	return r, err
}

// setReportField sets the field of that name, and reports whether it is one of the fields of most reports.
func setReportField(r *wire.FleetReport, name, value []byte) bool {
	switch string(name) {
	case "BornMillis":
		return flatdecoder.Integer(value, &r.BornMillis)
	case "Digest":
		return flatdecoder.Text(value, &r.Digest)
	case "EntriesDigest":
		return flatdecoder.Text(value, &r.EntriesDigest)
	case "IsDown":
		return flatdecoder.Flag(value, &r.IsDown)
	case "IsLoading":
		return flatdecoder.Flag(value, &r.IsLoading)
	case "IsSilent":
		return flatdecoder.Flag(value, &r.IsSilent)
	case "LinkDelayMillis":
		return flatdecoder.Integer(value, &r.LinkDelayMillis)
	case "ListRevision":
		return flatdecoder.Integer(value, &r.ListRevision)
	case "LoadInMillis":
		return flatdecoder.Integer(value, &r.LoadInMillis)
	case "Listeners":
		return flatdecoder.Integer(value, &r.Listeners)
	case "Queued":
		return flatdecoder.Integer(value, &r.Queued)
	case "ReadingTokens":
		return flatdecoder.Integer(value, &r.ReadingTokens)
	case "Running":
		return flatdecoder.Integer(value, &r.Running)
	case "Slowness":
		return flatdecoder.Decimal(value, &r.Slowness)
	case "Weights":
		return flatdecoder.Integer(value, &r.Weights)
	default:
		return false
	}
}
