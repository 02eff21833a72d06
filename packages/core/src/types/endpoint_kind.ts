/** Whether an endpoint is a model engine or a plain service. */
export type EndpointKind = 'engine' | 'service';
