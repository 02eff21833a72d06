/**
 * What the head of an answer says about its request. `named`: it names the
 * request of the attempt. `other`: it names another one. `unnamed`: it names
 * none. `none`: no head arrived.
 */
export type AnswerIdentity = 'named' | 'other' | 'unnamed' | 'none';
