//! Stand-ins for the systems around cornelpoint, with faults on request.
