// A part of prompts ends engines, far back in the long list of a session.
import {playDeadlyParts} from '../lib/deadly_parts.mjs';

const PARTS_OF_THE_SESSION = 17;

await playDeadlyParts(import.meta.dirname, {
  sharedParts: Array.from(
    {length: PARTS_OF_THE_SESSION},
    (_, i) => `aa${10 + i}:40`,
  ),
  promptTokens: 2_480,
  atOnce: 0,
  intervalMs: 1_000,
  troubleMs: 40_000,
});
