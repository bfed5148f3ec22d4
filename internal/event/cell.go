package event

// Events of the owner of a cell and of the nodes around it, 7000 to 7199.
var (
	CellClaimed        = define(7000, Info, "the node owns the cell", "")
	CellLost           = define(7001, Info, "the node no longer owns the cell", "")
	CellHandedOver     = define(7004, Info, "the cell is given to a node that is stronger or not as late", "")
	CellLoaded         = define(7002, Info, "the records of the cell are loaded", "")
	CellFailed         = define(7003, Warn, "the records of the cell could not be loaded; the cell is given up", "check the table service")
	OwnerLate          = define(7007, Warn, "the owner of the cell is late with its work", "check the load and the processor share of the node")
	SuccessorNotCalled = define(7008, Info, "the successor could not be called; it takes the cell over a little later", "")
	CommitFailed       = define(7006, Warn, "a commit failed; the cell is given up", "look for another owner of the cell; otherwise report the error")
	RunLine            = define(7010, Info, "run of a task", "")
	StoreLost          = define(7020, Warn, "the table service does not answer", "check the table service")
	StoreRegained      = define(7021, Info, "the table service answers again", "")
	ConfigInstalled    = define(7030, Info, "configuration in force", "")
	ConfigNotFetched   = define(7032, Warn, "a newer configuration could not be fetched from the owner of the cell", "")
	RowUnreadable      = define(7031, Warn, "a row can't be read and is left out", "check who writes the table")
	CallerAnswered     = define(7040, Info, "answer to a caller", "")
)
