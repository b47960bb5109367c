/* One streamed response (docs/design/streams.md).

   A side runs generations of one request; a token is identified by its
   generation and offset.  Frames are lost, duplicated and delayed; the
   caller's connection breaks and is resumed by position; the engine fails.

   Properties of what the caller receives:
     in_order           offsets are consecutive and of one generation
     complete_is_whole  "complete" is reported only after every token
   Each BROKEN_* macro removes one rule; the checker must then report a
   violation.  */

#define LENGTH 3
#define GENERATIONS 2
#define NONE 255

/* Frames to the entry: generation, offset; offset LENGTH marks the end.  */
chan link = [3] of { byte, byte };
/* Requests to the side: generation, offset from which it sends.  */
chan attach = [1] of { byte, byte };

byte generation = 0;       /* in progress at the engine */
byte produced = 0;         /* its tokens in the side's buffer */
bool lost[GENERATIONS];    /* its engine failed; the side reports it */

byte caller_generation = NONE;
byte caller_next = 0;
bool order_violated = false;
bool complete = false;
bool interrupted = false;
bool retry_requested = false;

/* side/streams.c: buffers and sends tokens; sends again from an offset.  */
proctype side ()
{
  byte send_next = 0;
  byte g;
  byte from;

end:
  do
  :: produced < LENGTH && !lost[generation] -> produced++
  :: send_next < produced && nfull (link) ->
       if
       :: link ! generation, send_next
       :: link ! generation, send_next; nfull (link) ->
            link ! generation, send_next          /* duplicated by the link */
       :: skip                                    /* lost on the link */
       fi;
       send_next++
  :: send_next == LENGTH && nfull (link) ->
       link ! generation, LENGTH;
       send_next++
  :: attach ? g, from ->
       if
       :: g == generation -> send_next = from
       :: else -> skip                            /* unknown generation */
       fi
  /* The engine fails during the generation.  */
  :: !lost[generation] && produced < LENGTH && generation == 0 ->
       lost[generation] = true
  /* The entry's retry starts a new generation.  */
  :: generation == 0 && lost[0] && retry_requested ->
       atomic { generation = 1; produced = 0; send_next = 0 }
  od
}

/* Delivers the token at offset O of generation G to the caller.  */
inline deliver (g, o)
{
  order_violated = (order_violated || o != caller_next ||
           (caller_generation != NONE && caller_generation != g));
  caller_generation = g;
  caller_next = o + 1
}

/* entry/streams.c: delivers only the next offset of the current generation.
   BROKEN_ATTEMPT accepts events of an earlier generation.  */
proctype entry ()
{
  byte current_generation = 0;
  byte g;
  byte o;

end:
  do
  :: !complete && !interrupted ->
       if
       :: link ?? g, o ->                         /* in any order */
            if
#ifndef BROKEN_ATTEMPT
            :: g != current_generation -> skip    /* of an earlier generation */
#endif
            :: else ->
                 if
                 :: o == LENGTH ->
#ifndef BROKEN_TOTAL
                      if
                      :: caller_next == LENGTH -> complete = true
                      :: else -> attach ! current_generation, caller_next
                      fi
#else
                      complete = true
#endif
                 :: o < LENGTH ->
#ifndef BROKEN_OFFSET
                      if
                      :: o == caller_next -> deliver (g, o)
                      :: else -> skip
                      fi
#else
                      deliver (g, o)
#endif
                 fi
            fi
       /* The caller reconnects, possibly at another entry, and resumes by
          position.  */
       :: nfull (attach) && caller_generation != NONE ->
            attach ! caller_generation, caller_next
       /* The entry detected a gap before anything was delivered.  */
       :: nfull (attach) && caller_generation == NONE ->
            attach ! current_generation, 0
       :: lost[current_generation] ->
#ifndef BROKEN_RETRY
            if
            :: caller_next == 0 && current_generation == 0 ->
                 current_generation = 1; retry_requested = true
            :: else -> interrupted = true
            fi
#else
            if
            :: current_generation == 0 ->
                 current_generation = 1; retry_requested = true
            :: else -> interrupted = true
            fi
#endif
       fi
  :: complete || interrupted -> break
  od
}

init
{
  atomic { run side (); run entry () }
}

ltl in_order { [] !order_violated }
ltl complete_is_whole { [] (complete -> caller_next == LENGTH) }
