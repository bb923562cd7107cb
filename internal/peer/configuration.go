package peer

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/configuration"
)

// ConfigurationName is the name under which the receiver of configuration
// fetches is registered.
const ConfigurationName = "configuration"

// FetchArgs requests the version in force if its number is above Above.
type FetchArgs struct {
	Above configuration.Number
}

// FetchReply is the version in force. Version is its JSON form. It is empty if
// Number is not above FetchArgs.Above. Known is false if the peer has no version.
type FetchReply struct {
	Known   bool
	Number  configuration.Number
	Version []byte
}

// configurationReceiver serves the version in force.
type configurationReceiver struct {
	board *blackboard.Board
}

// RegisterConfiguration lets peers fetch the version in force.
func RegisterConfiguration(srv *Server, board *blackboard.Board) error {
	return srv.Register(ConfigurationName, configurationReceiver{board})
}

// Fetch returns the version in force.
func (re configurationReceiver) Fetch(args *FetchArgs, reply *FetchReply) error {
	version := re.board.Configuration.Load()
	if version == nil {
		return nil
	}
	reply.Known = true
	reply.Number = version.Number
	if version.Number <= args.Above {
		return nil
	}
	raw, err := configuration.Encode(*version)
	reply.Version = raw
	return err
}

// ConfigurationPeers fetches the configuration from the members.
type ConfigurationPeers struct {
	Pool    *Pool
	Members *Membership
}

// Known reports whether the settings name peers or a list of VMs is present.
func (cp ConfigurationPeers) Known() bool {
	return len(cp.Members.opt.Addresses) > 0 || cp.Members.opt.Board.VMs.Load() != nil
}

// Addresses returns the addresses of all known peers.
func (cp ConfigurationPeers) Addresses() []string {
	return cp.Members.Addresses()
}

// Fetch returns the version in force at the peer.
func (cp ConfigurationPeers) Fetch(ctx context.Context, addr string, above configuration.Number) (configuration.Version, error) {
	var reply FetchReply
	err := cp.Pool.Call(ctx, addr, ConfigurationName+".Fetch", &FetchArgs{Above: above}, &reply)
	version := configuration.Version{Number: reply.Number}
	switch {
	case err != nil:
		return version, fmt.Errorf("fetch the configuration from %s: %w", addr, err)
	case !reply.Known:
		return version, configuration.ErrNoVersion
	case reply.Number <= above:
		return version, nil
	}
	if err := json.Unmarshal(reply.Version, &version); err != nil {
		return version, fmt.Errorf("decode the configuration from %s: %w", addr, err)
	}
	return version, nil
}
