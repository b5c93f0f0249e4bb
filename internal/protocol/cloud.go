package protocol

// MachinePhase is the state of a machine in the list of the cloud.
type MachinePhase string

// Phases of a machine in the cloud's list.
const (
	MachineBooting MachinePhase = "starting"
	MachineRunning MachinePhase = "running"
	MachineFailed  MachinePhase = "failed"
)

// MachineType is one entry of the cloud's price list.
type MachineType struct {
	Name        MachineTypeName `json:"label"`
	CPUs        float64         `json:"cpus"`
	GPUs        float64         `json:"gpus"`
	MemoryGB    float64         `json:"memory_gb"`
	CacheGB     float64         `json:"cache_gb"`
	FetchGBPerS float64         `json:"fetch_gb_per_s"`
	Price       float64         `json:"hourly"`
	SpotPrice   float64         `json:"low_price"`
	BootS       float64         `json:"startup_s"`
	Zones       []ZoneName      `json:"yards"`
}

// Fits says whether one task of the job fits an empty machine of this type,
// the job's wishes for type and zone included.
func (t *MachineType) Fits(spec *Job) bool {
	if spec.CPUs > t.CPUs || spec.GPUs > t.GPUs || spec.MemoryGB > t.MemoryGB {
		return false
	}
	if !TypeAllowed(spec.Types, t.Name) {
		return false
	}
	if spec.Zone == "" {
		return true
	}
	for _, z := range t.Zones {
		if z == spec.Zone {
			return true
		}
	}
	return false
}

// TypeAllowed says whether a list of types, empty for any, has this one.
func TypeAllowed(types []MachineTypeName, name MachineTypeName) bool {
	if len(types) == 0 {
		return true
	}
	for _, t := range types {
		if t == name {
			return true
		}
	}
	return false
}

// NoCapacity is the error of a rental that nothing is left for.
const NoCapacity = "no capacity"

// MachineTypes is the cloud's price list.
type MachineTypes struct {
	Types []MachineType `json:"builds"`
}

// CreateMachinesRequest asks the cloud for machines.
type CreateMachinesRequest struct {
	RequestID string          `json:"hire"`
	Type      MachineTypeName `json:"build"`
	Zone      ZoneName        `json:"yard"`
	Spot      bool            `json:"loaners"`
	Count     int             `json:"count"`
}

// MachineIDs lists machines by name.
type MachineIDs struct {
	Machines []MachineID `json:"berths"`
}

// Machine is an entry of the cloud's machine list.
type Machine struct {
	ID      MachineID       `json:"uid"`
	Address string          `json:"address"`
	Type    MachineTypeName `json:"build"`
	Zone    ZoneName        `json:"yard"`
	Spot    bool            `json:"loaners"`
	Phase   MachinePhase    `json:"phase"`
	AgeS    float64         `json:"age_s"`
}

// MachineList is a page of the cloud's machine list.
type MachineList struct {
	Machines []Machine `json:"berths"`
	More     bool      `json:"truncated"`
}
