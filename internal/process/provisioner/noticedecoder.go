package provisioner

import (
	"encoding/json"

	"github.com/foxtailwharf/foxtailwharf/internal/connection/flatdecoder"
	"github.com/foxtailwharf/foxtailwharf/wire"
)

// decodeNotice decodes a notice of an entry. Most have neither lists nor earlier releases and take the quick way.
func decodeNotice(data []byte) (n wire.FleetNotice, err error) {
	if flatdecoder.Decode(data, func(name, value []byte) bool { return setNoticeField(&n, name, value) }) {
		return n, nil
	}
	n = wire.FleetNotice{}
	err = json.Unmarshal(data, &n)
	return n, err
}

// setNoticeField sets the field of that name, and reports whether it is one of the fields of most notices.
func setNoticeField(n *wire.FleetNotice, name, value []byte) bool {
	switch string(name) {
	case "AgeMillis":
		return flatdecoder.Integer(value, &n.AgeMillis)
	case "Digest":
		return flatdecoder.Text(value, &n.Digest)
	case "Domain":
		return flatdecoder.Text(value, &n.Domain)
	case "EntriesDigest":
		return flatdecoder.Text(value, &n.EntriesDigest)
	case "HasEarlier":
		return flatdecoder.Flag(value, &n.HasEarlier)
	case "IsGuess":
		return flatdecoder.Flag(value, &n.IsGuess)
	case "IsStandby":
		return flatdecoder.Flag(value, &n.IsStandby)
	case "ListRevision":
		return flatdecoder.Integer(value, &n.ListRevision)
	case "Model":
		return flatdecoder.Text(value, &n.Model)
	case "Origin":
		return flatdecoder.Text(value, &n.Origin)
	case "OriginDomain":
		return flatdecoder.Text(value, &n.OriginDomain)
	case "OriginRate":
		return flatdecoder.Integer(value, &n.OriginRate)
	case "PlacedTokens":
		return flatdecoder.Integer(value, &n.PlacedTokens)
	case "ReadPace":
		return flatdecoder.Integer(value, &n.ReadPace)
	case "Release":
		return flatdecoder.Integer(value, &n.Release)
	case "ReportDelayMillis":
		return flatdecoder.Integer(value, &n.ReportDelayMillis)
	case "Service":
		return flatdecoder.Text(value, &n.Service)
	default:
		return false
	}
}
