/** Name of a stream of the platform's log. */
export type LogStream = 'table' | 'lease' | `claims-${string}`;
