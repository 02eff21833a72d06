import type {RandomSource} from '@wisterialadder/core/types/random_source.js';

/** Generates a UUIDv7 for a wall-clock time in milliseconds. */
export function uuidV7(wallMs: number, random: RandomSource): string {
  const time = Math.floor(wallMs).toString(16).padStart(12, '0');
  const a = digits(3, random);
  const variant = (8 + Math.floor(random() * 4)).toString(16);
  const b = digits(3, random);
  const c = digits(12, random);
  return `${time.slice(0, 8)}-${time.slice(8)}-7${a}-${variant}${b}-${c}`;
}

function digits(count: number, random: RandomSource): string {
  let text = '';
  for (let i = 0; i < count; i++) {
    text += Math.floor(random() * 16).toString(16);
  }
  return text;
}
