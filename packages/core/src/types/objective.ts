/** What routing optimises for a traffic class. */
export type Objective = 'first_token' | 'short_slowdown' | 'completion';
