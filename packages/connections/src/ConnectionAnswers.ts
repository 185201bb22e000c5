/**
 * Checks the answers that HTTP clients of this process read. What the HTTP client library lets through and is no whole
 * answer becomes an error of its request, so that every reader of answers is told of it in the same way.
 */
import type { buildConnector, Dispatcher } from 'undici';
import { SkylarkError } from '@skylarksail/core/CoreErrors';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createEndWatch } from './ConnectionEnds.js';

/** An answer is not whole, or not one of the protocol; its request may have run. */
export const AnswerError = SkylarkError.subclass('AnswerError');

/** Headers of an answer, with names in lower case. */
type AnswerHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** The checks of one client; it has to use both parts. */
export interface AnswerChecks {
  /** Opens its connections. */
  readonly connect: buildConnector.connector;
  /** Checks the answers on them. */
  readonly intercept: Dispatcher.DispatcherComposeInterceptor;
}

/** Responses with a lower status are interim ones: the answer follows. */
const FIRST_FINAL_STATUS = 200;
/** Far more than a server has to say before its answer; one that sends them without end never comes to it. */
const MAX_INTERIM_ANSWERS = 16;
/** The protocol has no status of six hundred or more. */
const STATUS_END = 600;
/** The only transfer coding that the HTTP client decodes. */
const CHUNKED = 'chunked';
/** Name of no coding. */
const IDENTITY = 'identity';
/** Timeout of connecting, unless the client gives another. */
const DEFAULT_CONNECT_TIMEOUT: Millis = 10_000;

/** Whether an answer has a length or chunks, so that its end shows in its own bytes. */
export function isFramedAnswer(headers: AnswerHeaders): boolean {
  return headers['content-length'] !== undefined || readCoding(headers) === CHUNKED;
}

/** Transfer coding of an answer, in lower case; null if it has none. */
function readCoding({ 'transfer-encoding': coding }: AnswerHeaders): string | null {
  const name = coding === undefined ? IDENTITY : String(coding).trim().toLowerCase();
  return name === IDENTITY ? null : name;
}

/** Creates the checks of a client. */
export function createAnswerChecks(connectTimeout = DEFAULT_CONNECT_TIMEOUT): AnswerChecks {
  const { connect, isEndedByReset } = createEndWatch(connectTimeout);

  function createCheckedHandler(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
    let isFramed = true;
    let interimAnswers = 0;

    /** What is wrong with the head of an answer; null if nothing is. */
    function findFault(status: number, headers: AnswerHeaders): string | null {
      if (status >= STATUS_END) {
        return `the status ${status} is none of the protocol`;
      }
      if (status < FIRST_FINAL_STATUS) {
        interimAnswers += 1;
        return interimAnswers > MAX_INTERIM_ANSWERS ? 'too many interim answers' : null;
      }
      const coding = readCoding(headers);
      return coding === null || coding === CHUNKED ? null : `the body is coded as ${coding}`;
    }

    return {
      onRequestStart: (controller, context) => handler.onRequestStart?.(controller, context),
      onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
      onResponseStart(controller, status, headers, message) {
        const fault = findFault(status, headers);
        if (fault !== null) {
          controller.abort(new AnswerError(fault));
          return;
        }
        isFramed = status < FIRST_FINAL_STATUS || isFramedAnswer(headers);
        handler.onResponseStart?.(controller, status, headers, message);
      },
      onResponseData: (controller, chunk) => handler.onResponseData?.(controller, chunk),
      onResponseEnd(controller, trailers) {
        if (!isFramed && isEndedByReset()) {
          const err = new AnswerError('the connection was reset within the answer');
          handler.onResponseError?.(controller, err);
        } else {
          handler.onResponseEnd?.(controller, trailers);
        }
      },
      onResponseError: (controller, err) => handler.onResponseError?.(controller, err),
    };
  }

  return {
    connect,
    intercept: (dispatch) => (options, handler) => dispatch(options, createCheckedHandler(handler)),
  };
}
