//! The help text of the tool.

/// The tool's help.
pub const HELP: &str = "\
kingcuploftctl: look at and steer a kingcuploft fleet

Usage: kingcuploftctl [OPTIONS] COMMAND

Manifest
  manifest check FILE            check a manifest; every fault with its line
  manifest apply FILE            check it, then put it in force everywhere
      --base GENERATION            only if this generation is the accepted one
      --above GENERATION           count on from here, after the store was reset
      --verify                     also mend service objects that did not change
      --author NAME                who applies it (default: the USER variable)
  manifest show [--generation G] print a manifest
  manifest history               who applied what, newest first
  manifest diff FILE             what FILE would change
  manifest diff --from G --to G  what changed between two generations

Fleet
  status                         each VM: generation, readiness, drains, refusals
  explain [--service S] [--reason R] [--request ID]
                                 why requests were refused, retried or kept off a server
  service list                   the services in force
  backend-server list [SERVICE]  the backend servers, with their drains
  drain SERVICE BACKEND_SERVER   give it no new work; also while the store is down
  claim show SERVICE KEY         what is known of a protected action
  workspaces [NAME]              requests of workspaces by what their quotas made of them, summed
                                 over the entry VMs at --vm (their metrics ports), and where refused
  in-force [VERSION]             on which of the entry VMs at --vm a configuration is not in force yet
  connections                    who holds the descriptors of the entry VMs at --vm, and who gave way
  trace REQUEST [LOG...]         a request's way, from the logs of kingcuploft-front (or stdin)

Options
  --platform HOST:PORT  the platform's object API
  --vm HOST:PORT,...    the admin ports of VMs to ask; several may be given
  --admin-port PORT     ask every VM of the platform's list on this port
  --token FILE          a file with the bearer token of the admin ports
  --json                print JSON
  -h, --help            print this help
  --version             print the version

Exit codes
  0  done
  1  not done: the store or a VM refused or was not reached
  2  the command line or the manifest is wrong
  3  another operator's apply came first; nothing of this one is in force
  4  not known whether it was done; the message says how to find out
  5  what was compared differs: two manifests, or the VMs of a fleet

Examples
  kingcuploftctl manifest check manifest.yaml
  kingcuploftctl --platform 10.10.0.2:8400 --admin-port 9100 manifest apply manifest.yaml
  kingcuploftctl --vm 10.10.0.11:9100,10.10.0.12:9100 status
  kingcuploftctl --vm 10.1.0.35:9464,10.2.0.28:9464 in-force r12
  kingcuploftctl --vm 10.10.0.11:9100 drain trip trip-4
";
