package event

// Events of membership, partition ownership, registry and quotas, 2000 to 2199.
var (
	PeerSilent  = define(2001, Info, "connection to a node closed: a request and a probe had no answer on it; its calls may be repeated on a new connection", "if it recurs for one address, check that node and the network")
	PeerLimit   = define(2002, Warn, "connections of other nodes refused: the node serves as many as it may", "raise max_open_files, or use a VM that allows more open files")
	PeerRefused = define(2000, Warn, "connection of a peer refused", "check that only nodes of this cell connect to the peer address, and their versions and TLS files")

	SessionJoined          = define(2010, Info, "session started", "")
	SessionLost            = define(2011, Warn, "session lost; the node rejoins with a new incarnation", "")
	NodeNameInUse          = define(2012, Error, "another process uses the same node name; this one waits", "give each process a node name of its own")
	SessionReleased        = define(2013, Info, "session released", "")
	MemberExpired          = define(2014, Warn, "session of a member marked as expired", "")
	MemberGone             = define(2015, Info, "member is considered gone", "")
	StoreOutage            = define(2016, Warn, "the table service is unreachable for all members", "check the table service")
	StoreOutageUnconfirmed = define(2017, Info, "the outage of the table service is no longer confirmed for all members", "")
	PlacementPaused        = define(2018, Warn, "the node places no work until its session is renewed", "check the connection to the table service")
	NodeIsolated           = define(2019, Warn, "node is isolated: no other node answers although others run; partitions move to them", "check the network between this node and the others")
	PeersReachable         = define(2020, Info, "other nodes answer again", "")

	PartitionClaimed     = define(2050, Info, "partition claimed", "")
	PartitionReleased    = define(2051, Info, "partition handed over", "")
	PartitionDropped     = define(2052, Warn, "partition dropped: a newer owner may exist", "")
	OwnershipWriteFailed = define(2053, Warn, "partition or cell could not be claimed or released", "check the table service")

	RegistryInstalled   = define(2080, Info, "configuration or keys installed", "")
	RegistryUnconfirmed = define(2081, Warn, "the node cannot confirm that its configuration and keys are current and rejects callers", "check the connection to the table service and to the other nodes")
	RegistryConfirmed   = define(2082, Info, "the configuration and keys of the node are confirmed as current", "")
	RegistryRowInvalid  = define(2083, Error, "configuration or keys could not be read", "check the table service, and the release of the node that wrote the row")
	ChangeUnconfirmed   = define(2084, Warn, "a change is committed but not confirmed by every node", "repeat the call; check the nodes listed")
	HeadDecreased       = define(2085, Error, "the configuration or key version in the table service is older than the one in force", "check whether the table service was restored from a backup")

	QuotaUpdateFailed = define(2120, Warn, "quota rows could not be read or written", "check the table service")
)
