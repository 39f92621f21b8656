package placer

// Place chooses a worker for each task of r, or reports that none can be found
// now. The workers are sorted by id; equal inputs give equal placements.
func Place(r Request, workers []Worker) (Placement, bool) { return nil, false }
