/**
 * Pieces after which an engine has survived an answer: it ends while it begins
 * to write, and may have sent something by then.
 */
export const PROOF_PIECES = 3;
