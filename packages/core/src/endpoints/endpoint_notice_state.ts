/**
 * `leaving`: final for the endpoint's incarnation. `failed`: in doubt until
 * the receiver reads a load report itself. `withdrawn`: no longer serving by
 * a table that is newer than the receiver's.
 */
export type EndpointNoticeState = 'leaving' | 'failed' | 'withdrawn';
