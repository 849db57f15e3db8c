package fleetplatform

import (
	"fmt"
	"net"
	"os"
)

const settingsFormat = `
node-name = %q
zone = "z1"
ip = "127.0.0.1"
[bind-addrs]
frontend = %q
ready = %q
[limits]
cpu-share = 0.4
memory-mb = 284
[bounds]
grace-s = 6
hold-max-ms = 3000
lease-ms = 1000
status_s = 120
maintenance-s = 1
migrate-s = 1
[platform]
address = %q
[cloud-api]
address = %q
duty-per-s = 64.0
`

// SettingsFile returns what the platform hands to a host, less what does not
// matter to tests. platform is the address of the store and the machine list.
func SettingsFile(host, jobs, ready, platform string) string {
	return fmt.Sprintf(settingsFormat, host, jobs, ready, platform, platform)
}

// FreeAddress returns an address with a port that the kernel chose, on a
// loopback IP of this process alone: on a shared one, another process could take
// the port before it is used.
func FreeAddress() (string, error) {
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, 1+pid&127))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
