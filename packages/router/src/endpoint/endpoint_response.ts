import type {Dispatcher} from 'undici';

/** Response of an endpoint as `undici` returns it. */
export type EndpointResponse = Dispatcher.ResponseData;
