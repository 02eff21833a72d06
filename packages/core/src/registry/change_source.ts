/**
 * Who found a change: this gateway, in the store, or the gateway that reads for
 * all and has judged already whether to retain an endpoint.
 */
export type ChangeSource = 'store' | 'reader';
