/**
 * What the head of an answer says about its request. `named`: it names the
 * request of the attempt. `unnamed`: it does not. `none`: no head arrived.
 */
export type AnswerIdentity = 'named' | 'unnamed' | 'none';
