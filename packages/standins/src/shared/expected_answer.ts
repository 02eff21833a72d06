import {createHash} from 'node:crypto';
import {hash32} from '@wisterialadder/core/shared/hash32.js';

const HASH_CHARACTERS = 32;

/** Hash of a prompt; decides the whole answer. */
export function promptHash(prompt: string): string {
  return createHash('sha256')
    .update(prompt)
    .digest('hex')
    .slice(0, HASH_CHARACTERS);
}

/** Text of one part, so that a gap, a repeat or a mix-up can be seen. */
export function answerPart(hash: string, sequence: number): string {
  return `${hash32(`${hash}:${sequence}`).toString(16).padStart(8, '0')} `;
}

/** Number of parts of an answer: from half of `maxTokens` up to it. */
export function answerLength(hash: string, maxTokens: number): number {
  const least = Math.ceil(maxTokens / 2);
  return least + (hash32(hash) % (maxTokens - least + 1));
}
