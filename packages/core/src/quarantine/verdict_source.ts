/** Who caused a change: this gateway, a peer, the store or an operator. */
export type VerdictSource = 'self' | 'peer' | 'store' | 'operator';
