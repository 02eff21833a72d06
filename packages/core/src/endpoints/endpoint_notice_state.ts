/**
 * `leaving`: final for the endpoint's incarnation. `failed`: excluded until
 * the receiver reads a load report itself. `withdrawn`: not serving according
 * to a table that is newer than the receiver's.
 */
export type EndpointNoticeState = 'leaving' | 'failed' | 'withdrawn';
