/* Data structures of the I/O thread, shared by the files of the link.  */

#ifndef CV_ENTRY_LINK_INTERNAL_H
#define CV_ENTRY_LINK_INTERNAL_H

#include <pthread.h>

#include "entry/link.h"

typedef enum
{
  COMMAND_SUBMIT = 1,
  COMMAND_ATTACH,
  COMMAND_CALL,
  COMMAND_NEW_TICKET,
  COMMAND_CALLER_GONE,
  COMMAND_ADOPT,
  COMMAND_STORE_FAILED,
  COMMAND_SET_INSTANCES,
  COMMAND_MERGE_SUSPECTS,
  COMMAND_REFUSE_NEW,
  COMMAND_END_REQUESTS,
  COMMAND_INSPECT,
  COMMAND_QUIT
} cv_command_type_t;

/* Completion of a command for which another thread waits.  */
typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t done_cond;
  bool done;
} cv_command_waiter_t;

/* A command for the I/O thread, with a private copy of all data.  */
typedef struct cv_command_t
{
  STAILQ_ENTRY (cv_command_t) link;
  cv_command_type_t type;
  cv_reply_queue_t *replies;
  cv_time_t read_start; /* ADOPT, STORE_FAILED */
  char *bytes;          /* storage of the slices in the union */
  union
  {
    cv_stream_spec_t submit;
    struct
    {
      char account[CV_NAME_MAX];
      cv_position_t first;
    } attach;
    cv_call_spec_t call;
    char pool[CV_NAME_MAX];
    cv_config_t *config;
    struct
    {
      cv_instance_t *list;
      size_t count;
      uint32_t entries;
    } instances;
    struct
    {
      void (*fn) (cv_entry_core_t *core, cv_time_t now, void *arg);
      void *arg;
      cv_command_waiter_t *waiter;
    } inspect;
  } u;
} cv_command_t;

/* The connection to the side of one target; its index is the target's slot.  */
typedef struct
{
  void *socket;  /* NULL: slot unused */
  void *monitor; /* reports each new connection of SOCKET */
  cv_instance_t instance;
  cv_time_t requested_at; /* when a request last named the target; 0: never */
} cv_target_link_t;

struct cv_entry_link_t
{
  pthread_t thread;
  void *zmq;
  int wake_fd; /* eventfd, signalled when a command is queued */
  pthread_mutex_t lock;
  STAILQ_HEAD (cv_command_list_t, cv_command_t) queue;
  uint32_t entries;
  bool has_instance_list; /* one has been received */
  cv_config_t *config;    /* copy of the core's state for other threads */
  char *suspects;         /* likewise */
  uint64_t suspects_version;
  /* Used by the I/O thread only: */
  cv_entry_core_t *core;
  cv_instance_t *instances; /* the whole list as last received */
  size_t instance_count;
  cv_target_link_t *peers;
  uint32_t peer_count;
  cv_buf_t send_frame;
  char instance[CV_NAME_MAX];        /* name of this entry */
  char routing_id[CV_NAME_MAX + 20]; /* the same for each connection */
  uint32_t monitor_count;            /* created so far, for unique names */
  bool quit;
};

/* link_queue.c */

void cv_entry_link_quit (cv_entry_link_t *l);
void cv_entry_link_free_command (cv_command_t *c);

/* link_subset.c */

/* Marks the targets of LIST to which this entry connects as chosen.  */
void cv_entry_link_select_targets (const cv_entry_link_t *l,
                                   cv_instance_t *list, size_t count);

/* link_peers.c */

/* Connects to the target NAME, which a ticket or position names, whether it is
   chosen or not.  */
void cv_entry_link_require_target (void *arg, const char *name);

/* Connects to newly chosen targets of LIST.  Removes unlisted targets that are
   lost, and listed targets that are neither chosen nor needed for requests.  */
void cv_entry_link_apply_instances (cv_entry_link_t *l, cv_time_t now,
                                    cv_instance_t *list, size_t count);
void cv_entry_link_send (void *arg, uint32_t target, const cv_msg_t *msg);
void cv_entry_link_reset (void *arg, uint32_t target);
/* Reads a bounded number of frames from the side of TARGET.  */
void cv_entry_link_receive (cv_entry_link_t *l, uint32_t target);
/* Reads the monitor events of TARGET and reports a new connection to the
   core.  */
void cv_entry_link_read_monitor (cv_entry_link_t *l, uint32_t target);
void cv_entry_link_close_peers (cv_entry_link_t *l);

#endif
