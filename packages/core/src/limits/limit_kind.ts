/** Quantities that are limited for each customer. */
export type LimitKind = 'requests' | 'tokens' | 'concurrency';

export const LIMIT_KINDS = ['requests', 'tokens', 'concurrency'] as const;
