package chivehillsim

import (
	"github.com/chivehill/chivehill/internal/chivehillbalance"
)

// clusterState is what a host knows of the cluster.
type clusterState struct{}

func (h *host) mayUse(chivehillbalance.Dispatch) bool { return true }
func (h *host) released(chivehillbalance.Released)    {}
func (h *host) killed(*call) bool                     { return true }
