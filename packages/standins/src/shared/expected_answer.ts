import {createHash} from 'node:crypto';
import {hash32} from '@wisterialadder/core/shared/hash32.js';

const HASH_LENGTH = 32;

/** Hash of a prompt; determines the whole answer. */
export function promptHash(prompt: string): string {
  return createHash('sha256')
    .update(prompt)
    .digest('hex')
    .slice(0, HASH_LENGTH);
}

/** Text of a part; unique, so that gaps, repeats and mix-ups show. */
export function answerPart(hash: string, sequence: number): string {
  return `${hash32(`${hash}:${sequence}`).toString(16).padStart(8, '0')} `;
}

/** Number of parts of an answer, from half of `maxTokens` to `maxTokens`. */
export function answerLength(hash: string, maxTokens: number): number {
  const minLength = Math.ceil(maxTokens / 2);
  return minLength + (hash32(hash) % (maxTokens - minLength + 1));
}
