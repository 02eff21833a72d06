export type EndpointKind = 'engine' | 'service';
