/// Largest segment. Segments of one size leave free memory that the next body can use; a
/// single buffer that doubled its size left as much behind as it held.
const SEGMENT_BYTES: usize = 16_384;
/// First segment of a body of unknown length; most jobs fit.
const FIRST_SEGMENT_BYTES: usize = 4096;

/// A body under way, copied to segments: a piece of any size would keep a whole read buffer
/// of its connection alive.
///
/// ```
/// use cornelpoint::connection_budget::BodySegments;
///
/// let mut body = BodySegments::default();
/// body.add_segment(body.next_segment_bytes(5, true));
/// assert_eq!(body.fill(b"hello, world"), b", world");
/// assert_eq!((body.len(), body.capacity()), (5, 5));
/// assert_eq!(body.into_vec(), b"hello");
/// ```
#[derive(Debug, Default)]
pub struct BodySegments {
    segments: Vec<Vec<u8>>,
    length: usize,
    capacity: usize,
}

impl BodySegments {
    /// Returns the number of bytes that have arrived.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no bytes have arrived.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns what the segments hold in bytes, free room included.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Copies a piece to the free room of the last segment; returns the rest of it.
    pub fn fill<'a>(&mut self, piece: &'a [u8]) -> &'a [u8] {
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
    #[must_use]
    pub fn next_segment_bytes(&self, left_bytes: usize, length_is_known: bool) -> usize {
        let largest = if self.segments.is_empty() && !length_is_known {
            FIRST_SEGMENT_BYTES
        } else {
            SEGMENT_BYTES
        };
        largest.min(left_bytes)
    }

    /// Adds free room of so many bytes.
    pub fn add_segment(&mut self, bytes: usize) {
        let segment = Vec::with_capacity(bytes);
        self.capacity += segment.capacity();
        self.segments.push(segment);
    }

    /// Returns the whole body; more than one segment are copied.
    #[must_use]
    pub fn into_vec(mut self) -> Vec<u8> {
        if self.segments.len() > 1 {
            return self.segments.concat();
        }
        self.segments.pop().unwrap_or_default()
    }
}
