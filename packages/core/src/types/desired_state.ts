/** What the operator wants of an endpoint. */
export type DesiredState = 'serving' | 'draining' | 'stopped';
