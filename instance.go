package foxtailwharf

import (
	"net/netip"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Role is the function of an instance of this system.
type Role string

// Roles of the system's processes.
const (
	RoleEntry Role = "Entry"
	RoleAgent Role = "Agent"
)

// Instance is the record of a process of the system that the processes exchange.
type Instance struct {
	Name        string
	Incarnation string // random ID of one run of the process, new at each start
	Role        Role
	// Address is where the other processes of the system reach it.
	Address       netip.AddrPort
	FailureDomain string
	Region        string
	Service       string // agents only
	Version       string // digest of the manifest that the agent's upstream serves
	IsLeaving     bool   // is shutting down gracefully
	// IsGone is set by an instance that was in direct contact with this one and finds it dead. This
	// instance refutes it with a record that has a higher Sequence.
	IsGone     bool
	Sequence   uint64 // increases with each change that the instance makes to its record
	Generation uint64 // newest generation of the idempotency keys that an agent stores
}

// Load is an agent's count of the requests at its upstream.
type Load struct {
	Queued  int
	Running int
	Slots   int // requests that may run concurrently
	Urgent  int // requests of the most urgent rank, included in Queued and Running
}

// ToWire converts the instance to its wire format.
func (i Instance) ToWire() wire.Instance {
	return wire.Instance{
		Name:          i.Name,
		Incarnation:   i.Incarnation,
		Role:          string(i.Role),
		Address:       i.Address.String(),
		FailureDomain: i.FailureDomain,
		Region:        i.Region,
		Service:       i.Service,
		Version:       i.Version,
		IsLeaving:     i.IsLeaving,
		IsGone:        i.IsGone,
		Sequence:      i.Sequence,
		Generation:    i.Generation,
	}
}

// InstanceFromWire converts an instance from its wire format. It returns an error if the address is
// invalid or the name or incarnation is missing.
func InstanceFromWire(m wire.Instance) (i Instance, err error) {
	var address netip.AddrPort
	if address, err = netip.ParseAddrPort(m.Address); err != nil {
		return i, errors.Wrap(err, "InstanceFromWire")
	}
	if m.Name == "" || m.Incarnation == "" {
		return i, errors.New("InstanceFromWire: name or incarnation is missing")
	}
	return Instance{
		Name:          m.Name,
		Incarnation:   m.Incarnation,
		Role:          Role(m.Role),
		Address:       address,
		FailureDomain: m.FailureDomain,
		Region:        m.Region,
		Service:       m.Service,
		Version:       m.Version,
		IsLeaving:     m.IsLeaving,
		IsGone:        m.IsGone,
		Sequence:      m.Sequence,
		Generation:    m.Generation,
	}, nil
}

// ToWire converts the load to its wire format.
func (l Load) ToWire() *wire.Load {
	return &wire.Load{Queued: l.Queued, Running: l.Running, Slots: l.Slots, Urgent: l.Urgent}
}

// LoadFromWire converts a load from its wire format; nil becomes the zero Load.
func LoadFromWire(m *wire.Load) Load {
	if m == nil {
		return Load{}
	}
	return Load{Queued: m.Queued, Running: m.Running, Slots: m.Slots, Urgent: m.Urgent}
}
