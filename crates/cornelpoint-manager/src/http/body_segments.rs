use hyper::body::Bytes;

/// Largest segment. Segments of one size leave free memory that the next body can use; a
/// single buffer that doubled its size left as much behind as it held.
const SEGMENT_BYTES: usize = 16_384;
/// First segment of a body of unknown length; most jobs fit.
const FIRST_SEGMENT_BYTES: usize = 4096;

/// A body under way, copied to segments: a piece of any size would keep a whole read buffer
/// of its connection alive.
#[derive(Debug, Default)]
pub(crate) struct BodySegments {
    segments: Vec<Vec<u8>>,
    length: usize,
    capacity: usize,
}

impl BodySegments {
    /// Returns the number of bytes that have arrived.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Returns what the segments hold, free room included.
    pub(crate) fn capacity(&self) -> usize {
        self.capacity
    }

    /// Copies a piece to the free room of the last segment; returns the rest of it.
    pub(crate) fn fill<'a>(&mut self, piece: &'a [u8]) -> &'a [u8] {
        let Some(segment) = self.segments.last_mut() else {
            return piece;
        };
        let free = segment.capacity() - segment.len();
        let (fits, rest) = piece.split_at(piece.len().min(free));
        segment.extend_from_slice(fits);
        self.length += fits.len();
        rest
    }

    /// Returns the size of the next segment of a body that has `left_bytes` to come, or at
    /// most so many if its length isn't known.
    pub(crate) fn next_segment_bytes(&self, left_bytes: usize, length_is_known: bool) -> usize {
        let largest = if self.segments.is_empty() && !length_is_known {
            FIRST_SEGMENT_BYTES
        } else {
            SEGMENT_BYTES
        };
        largest.min(left_bytes)
    }

    /// Adds free room.
    pub(crate) fn add_segment(&mut self, bytes: usize) {
        let segment = Vec::with_capacity(bytes);
        self.capacity += segment.capacity();
        self.segments.push(segment);
    }

    /// Returns the whole body; more than one segment are copied.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        if self.segments.len() > 1 {
            return self.segments.concat().into();
        }
        self.segments.pop().unwrap_or_default().into()
    }
}
