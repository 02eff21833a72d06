/** State that the operator requests for an endpoint. */
export type DesiredState = 'serving' | 'draining' | 'stopped';
