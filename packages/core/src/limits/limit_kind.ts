/** What a customer's use is limited in. */
export type LimitKind = 'requests' | 'tokens' | 'concurrency';

export const LIMIT_KINDS = ['requests', 'tokens', 'concurrency'] as const;
