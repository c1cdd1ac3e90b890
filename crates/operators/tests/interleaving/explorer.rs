//! Depth-first enumeration of all choices of a run.

/// Replays one sequence of choices and remembers which are left.
#[derive(Debug, Default)]
pub struct Explorer {
    path: Vec<(usize, usize)>,
    position: usize,
}

impl Explorer {
    /// Picks one of `options`.
    pub fn choose(&mut self, options: usize) -> usize {
        if self.position == self.path.len() {
            self.path.push((0, options));
        }
        let (choice, _) = self.path[self.position];
        self.position += 1;
        choice
    }

    /// Moves on to the next sequence; false when all were seen.
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
