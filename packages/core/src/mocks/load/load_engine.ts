import type {EngineProfile} from '../../configuration/engine_profile.js';
import {passMs} from '../../engine_model/pass_cost.js';
import {prefillPartMs} from '../../engine_model/prefill_cost.js';
import type {OrderMemory} from '../../gateway/actions/order_memory.js';
import type {EndpointEntry} from '../../registry/endpoint_entry.js';
import type {VirtualTimeline} from '../virtual_timeline.js';
import {LoadEndpoint, failJob} from './load_endpoint.js';
import type {LoadJob} from './load_job.js';

/** Time until an engine that held too much has started again. */
const RESTART_MS = 3_000;

interface HeldMemory {
  tokens: number;
  untilMs: number;
}

interface PrefillPart {
  job: LoadJob;
  tokensLeft: number;
  msPerToken: number;
}

/** A model engine: passes with prefill chunks, slots, and finite memory. */
export class LoadEngine extends LoadEndpoint {
  /** Memory that other engines' prompts hold here, by ticket. */
  private readonly tickets = new Map<string, HeldMemory>();
  overflows = 0;
  private readonly active = new Set<LoadJob>();
  private waiting: LoadJob[] = [];
  private prefills: PrefillPart[] = [];
  private streams: LoadJob[] = [];
  private busy = false;

  constructor(
    entry: EndpointEntry,
    private readonly profile: EngineProfile,
    private readonly timeline: VirtualTimeline,
    private readonly engineAt: (address: string) => LoadEngine | undefined,
  ) {
    super(entry);
  }

  heldTokens(): number {
    let sum = 0;
    for (const {tokens, untilMs} of this.tickets.values()) {
      if (untilMs > this.timeline.nowMs()) sum += tokens;
    }
    for (const job of this.active) sum += job.storedTokens + job.writtenTokens;
    return sum;
  }

  /** Carries out an order; false if there is too little memory. */
  order({ticket, order, tokens, holdMs}: OrderMemory): boolean {
    this.tickets.delete(ticket);
    if (order === 'release') return true;
    if (this.heldTokens() + tokens > this.profile.memoryTokens) return false;
    const untilMs = this.timeline.nowMs() + holdMs;
    this.tickets.set(ticket, {tokens, untilMs});
    return true;
  }

  override take(job: LoadJob): void {
    this.waiting.push(job);
    this.next();
  }

  override drop(job: LoadJob): void {
    job.open = false;
    this.waiting = this.waiting.filter(waiting => waiting !== job);
    this.end(job);
  }

  override fail(): void {
    for (const job of [...this.active, ...this.waiting]) {
      failJob(job, 'disconnected');
    }
    this.active.clear();
    this.tickets.clear();
    [this.waiting, this.prefills, this.streams] = [[], [], []];
  }

  /** Engines prefill parts of a split prompt before everything else. */
  addPart(job: LoadJob, parts: number): void {
    const tokensLeft = job.req.event.promptTokens / parts;
    const ms = prefillPartMs(this.profile, tokensLeft * parts, parts);
    const part = {job, tokensLeft, msPerToken: ms / tokensLeft};
    if (parts > 1) this.prefills.unshift(part);
    else this.prefills.push(part);
    this.pass();
  }

  private next(): void {
    if (this.active.size >= this.profile.slots) return;
    const job = this.waiting.shift();
    if (!job) return;
    this.active.add(job);
    const {helpers} = job.action;
    const parts = helpers.length + 1;
    const sharded = helpers.some(({ticket}) => ticket !== '');
    job.storedTokens = job.req.event.promptTokens / (sharded ? parts : 1);
    job.openParts = parts;
    for (const {address} of helpers)
      this.engineAt(address)?.addPart(job, parts);
    this.addPart(job, parts);
    this.next();
  }

  private pass(): void {
    if (this.busy || this.streams.length + this.prefills.length === 0) return;
    this.busy = true;
    const context = this.streams.reduce(
      (sum, job) => sum + job.storedTokens,
      0,
    );
    const count = this.streams.length;
    const stepsMs = count > 0 ? passMs(this.profile, count, context) : 0;
    const written = [...this.streams];
    const [prefillMs, finished] = this.takeChunks();
    this.timeline.after((stepsMs + prefillMs) * this.slowdown, () => {
      this.busy = false;
      for (const job of written) this.write(job);
      for (const {job} of finished) this.partDone(job);
      this.overflow();
      this.pass();
    });
  }

  /** Takes what one pass prefills off the queue. */
  private takeChunks(): [prefillMs: number, finished: PrefillPart[]] {
    let left = this.profile.chunkTokens * this.profile.stepsPerPass;
    let prefillMs = 0;
    const finished: PrefillPart[] = [];
    for (; left > 0 && this.prefills[0];) {
      const part = this.prefills[0];
      const tokens = Math.min(left, part.tokensLeft);
      left -= tokens;
      part.tokensLeft -= tokens;
      prefillMs += tokens * part.msPerToken;
      if (part.tokensLeft > 0) break;
      finished.push(part);
      this.prefills.shift();
    }
    return [prefillMs, finished];
  }

  private partDone(job: LoadJob): void {
    job.openParts -= 1;
    const main = this.engineAt(job.action.address);
    if (job.openParts > 0 || !job.open || !main) return;
    main.streams.push(job);
    main.write(job);
    main.pass();
  }

  private write(job: LoadJob): void {
    if (!job.open || !this.active.has(job)) return;
    const {reqId, attempt, resumeAfter} = job.action;
    const {stepsPerPass} = this.profile;
    const piece = resumeAfter + job.pieces + 1;
    const answer = {reqId, attempt};
    job.pieces += 1;
    job.writtenTokens += stepsPerPass;
    const payload = new Uint8Array();
    job.reply({kind: 'piece_received', ...answer, piece, payload});
    if (piece * stepsPerPass < job.req.outputTokens) return;
    job.open = false;
    this.end(job);
    job.reply({kind: 'stream_ended', ...answer, delimited: true});
  }

  private end(job: LoadJob): void {
    this.active.delete(job);
    this.streams = this.streams.filter(stream => stream !== job);
    this.prefills = this.prefills.filter(part => part.job !== job);
    this.next();
  }

  /** An engine that holds more than its memory terminates. */
  private overflow(): void {
    if (this.heldTokens() <= this.profile.memoryTokens) return;
    this.overflows += 1;
    this.reachable = false;
    this.fail();
    this.timeline.after(RESTART_MS, () => {
      this.reachable = true;
    });
  }
}
