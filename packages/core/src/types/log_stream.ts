/** Name of a stream on the platform's log. */
export type LogStream = 'table' | 'lease' | `claims-${string}`;
