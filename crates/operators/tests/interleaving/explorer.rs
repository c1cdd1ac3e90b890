//! Depth-first enumeration of all sequences of choices.

/// Replays one sequence of choices and tracks which sequences remain.
#[derive(Debug, Default)]
pub struct Explorer {
    /// Choice and number of options at each position of the current sequence.
    path: Vec<(usize, usize)>,
    /// Number of choices already replayed.
    position: usize,
}

impl Explorer {
    /// Returns the next choice, less than `options`.
    pub fn choose(&mut self, options: usize) -> usize {
        if self.position == self.path.len() {
            self.path.push((0, options));
        }
        let (choice, _) = self.path[self.position];
        self.position += 1;
        choice
    }

    /// Advances to the next sequence. Returns false when all sequences were enumerated.
    pub fn advance(&mut self) -> bool {
        self.position = 0;
        while let Some((choice, options)) = self.path.pop() {
            if choice + 1 < options {
                self.path.push((choice + 1, options));
                return true;
            }
        }
        false
    }
}
