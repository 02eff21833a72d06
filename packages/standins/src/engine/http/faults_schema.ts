import {z} from 'zod';

/** Body of an engine's `POST /control`; absent fields stay unchanged. */
export const ENGINE_FAULTS_SCHEMA = z
  .strictObject({
    neverAnswer: z.number().min(0).max(1),
    dieAfterParts: z.number().int().min(-1),
    slowFactor: z.number().positive(),
    leaving: z.boolean(),
    crossAnswers: z.number().min(0).max(1),
  })
  .partial();
