import type {Dispatcher} from 'undici';

/** Answer of an endpoint as `undici` gives it. */
export type EndpointResponse = Dispatcher.ResponseData;
