/** What a class of traffic is optimised for. */
export type Objective = 'first_token' | 'short_slowdown' | 'completion';
